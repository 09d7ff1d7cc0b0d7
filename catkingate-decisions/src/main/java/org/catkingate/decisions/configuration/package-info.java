/**
 * Decisions about which published configuration is in force. The version in force is
 * replaced only by a higher one, and only as a complete and valid version, from whichever
 * source it comes.
 */
package org.catkingate.decisions.configuration;
