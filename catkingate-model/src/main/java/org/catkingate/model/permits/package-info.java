/**
 * What gateways tell each other of the requests a second that runners take.
 */
package org.catkingate.model.permits;
