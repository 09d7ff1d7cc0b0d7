/**
 * The heads of calls as an outside protocol writes them, decoded once into types of the
 * product.
 */
package org.catkingate.runtime.calls;
