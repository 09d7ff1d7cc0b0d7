/**
 * The configuration that operators publish on the platform: its data types, INI format
 * and validation.
 */
package org.catkingate.model.published;
