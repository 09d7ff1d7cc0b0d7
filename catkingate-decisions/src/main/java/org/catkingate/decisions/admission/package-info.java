/**
 * Admission of calls and choice of a runner, by the predicted time to the first event of
 * the response.
 */
package org.catkingate.decisions.admission;
