package org.catkingate.bench;

/**
 * Entry point.
 */
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs the program.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(2);
	}

}
