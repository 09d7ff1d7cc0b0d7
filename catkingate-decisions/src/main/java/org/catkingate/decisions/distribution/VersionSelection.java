package org.catkingate.decisions.distribution;

import org.catkingate.model.Labels;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

/**
 * The selection of the instances that versions are distributed to. Stateless and safe for
 * use by any thread.
 *
 * @since 0.1
 */
public final class VersionSelection {

	private VersionSelection() {
	}

	/**
	 * Returns whether a version is selected for an instance: it is not withdrawn, and
	 * both its selector and that of its service's group match the labels.
	 * @param configuration the configuration
	 * @param version the version
	 * @param labels the instance's labels
	 * @return whether the version is selected
	 */
	public static boolean isSelected(PublishedConfiguration configuration, WeightsVersion version, Labels labels) {
		Service service = configuration.services().get(version.service());
		if (version.withdrawn() || service == null || !version.selector().matches(labels)) {
			return false;
		}
		InstanceGroup group = configuration.groups().get(service.group());
		return group == null || group.selector().matches(labels);
	}

}
