package org.catkingate.cli;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * A builder that refuses to create an MBean server. The I/O library registers its threads
 * with the server of the platform and ignores a failure; creating that server takes a
 * tenth of the start of a process, and nothing reads it. Stateless.
 */
public final class NoMBeanServerBuilder extends MBeanServerBuilder {

	private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

	/**
	 * Makes this the builder of all MBean servers of this process.
	 */
	static void install() {
		System.setProperty(BUILDER_PROPERTY, NoMBeanServerBuilder.class.getName());
	}

	@Override
	public MBeanServer newMBeanServer(String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
		throw new UnsupportedOperationException("this process has no MBean server; read its metrics over HTTP");
	}

}
