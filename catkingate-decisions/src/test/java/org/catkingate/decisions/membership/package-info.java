/**
 * Tests of the decisions about which agents exist and may receive requests.
 */
package org.catkingate.decisions.membership;
