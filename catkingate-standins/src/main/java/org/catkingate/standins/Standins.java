package org.catkingate.standins;

/**
 * Entry point.
 */
public final class Standins {

	private Standins() {
	}

	/**
	 * Runs the program.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(2);
	}

}
