package org.catkingate.decisions.distribution;

import org.catkingate.model.Labels;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

/**
 * Tells where versions belong. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class VersionSelection {

	private VersionSelection() {
	}

	/**
	 * Tells whether a version belongs on an instance: it is not withdrawn, and both its
	 * selector and that of its service's group match.
	 * @param configuration the configuration
	 * @param version the version
	 * @param labels the instance's labels
	 * @return whether it belongs there
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
