/**
 * Which runner gets a call, and which calls are refused, by the predicted time to the
 * first event of the answer.
 */
package org.catkingate.decisions.admission;
