/**
 * The requests that gateways may send to runners that have just started.
 */
package org.catkingate.decisions.coldstart;
