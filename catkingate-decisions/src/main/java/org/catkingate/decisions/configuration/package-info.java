/**
 * Decisions about which published configuration is in force. A version consists of parts
 * and of a head, which holds the revision and the digests of the parts. A process reads
 * versions from the configuration service and exchanges them with its peers. The version
 * in force is replaced only by a higher one, and only as a complete and valid version,
 * from whichever source it comes.
 */
package org.catkingate.decisions.configuration;
