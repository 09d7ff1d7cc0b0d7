/**
 * Tests of membership.
 */
package org.catkingate.decisions.membership;
