package org.catkingate.model.published;

import java.util.Objects;

import org.catkingate.model.Selector;

/**
 * A group of instances. Immutable and safe for use by any thread.
 *
 * @param name the group's name
 * @param selector the labels of the instances that belong to it
 * @since 0.1
 */
public record InstanceGroup(String name, Selector selector) {

	public InstanceGroup {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(selector, "selector must not be null");
	}

}
