/**
 * Tests of what operators watch.
 */
package org.catkingate.runtime.operators;
