/**
 * The configuration that operators publish: its records, its INI form and its validation.
 */
package org.catkingate.model.published;
