/**
 * The conditions under which a call may be sent to a runner.
 */
package org.catkingate.decisions.sending;
