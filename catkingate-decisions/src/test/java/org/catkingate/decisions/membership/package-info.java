/**
 * Tests of the decision which agents exist and may receive requests.
 */
package org.catkingate.decisions.membership;
