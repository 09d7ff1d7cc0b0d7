/**
 * What gateways report to each other about the parts of prompts.
 */
package org.catkingate.model.prompts;
