package org.catkingate.model;

/**
 * The name of a client account. Immutable and safe for use by any thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record AccountName(String value) implements Comparable<AccountName> {

	public AccountName {
		NameValidator.check("client account", value);
	}

	@Override
	public int compareTo(AccountName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
