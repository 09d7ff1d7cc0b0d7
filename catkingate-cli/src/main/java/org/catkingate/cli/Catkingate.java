package org.catkingate.cli;

/**
 * Entry point.
 */
public final class Catkingate {

	private Catkingate() {
	}

	/**
	 * Runs the program.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(2);
	}

}
