/**
 * What entry and agent share.
 */
package org.catkingate.runtime;
