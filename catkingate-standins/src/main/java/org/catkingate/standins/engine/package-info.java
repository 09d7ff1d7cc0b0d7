/**
 * A stand-in of a model engine.
 */
package org.catkingate.standins.engine;
