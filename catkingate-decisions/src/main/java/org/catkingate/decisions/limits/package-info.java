/**
 * How much a client account may ask for, and what is shed under overload.
 */
package org.catkingate.decisions.limits;
