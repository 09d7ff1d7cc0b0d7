/**
 * Tests of the decisions about admission.
 */
package org.catkingate.decisions.admission;
