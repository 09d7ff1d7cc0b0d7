/**
 * A stand-in for a model engine, which generates text from weights.
 */
package org.catkingate.standins.engine;
