/**
 * The demo as a golden file of its whole session.
 */
package org.catkingate.tests.demo;
