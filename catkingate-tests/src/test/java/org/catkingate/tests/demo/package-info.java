/**
 * Test of the demo script, whose output is compared with an approved file.
 */
package org.catkingate.tests.demo;
