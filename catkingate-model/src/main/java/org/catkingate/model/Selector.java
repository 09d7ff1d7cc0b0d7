package org.catkingate.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A selector over labels. It matches if all terms match; a selector without terms matches
 * everything. Immutable and safe for use by any thread.
 *
 * @param terms the terms, in the order of the text form
 * @since 0.1
 */
public record Selector(List<Term> terms) {

	private static final Pattern TERM = Pattern.compile("\\s*([A-Za-z0-9._-]+)\\s*(!=|=)\\s*([A-Za-z0-9._|-]+)\\s*");

	private static final String EVERYTHING = "*";

	public Selector {
		terms = List.copyOf(terms);
	}

	/**
	 * Returns the selector that matches everything.
	 * @return the selector, never null
	 */
	public static Selector everything() {
		return new Selector(List.of());
	}

	/**
	 * Parses the text form: terms separated by {@code &}, each {@code label=a|b} or
	 * {@code label!=a|b}; {@code *} matches everything.
	 * @param text the text form, never null
	 * @return the selector, never null
	 * @throws SelectorException if the text is malformed
	 */
	public static Selector parse(String text) throws SelectorException {
		Objects.requireNonNull(text, "selector must not be null");
		if (text.strip().equals(EVERYTHING)) {
			return everything();
		}
		List<Term> terms = new ArrayList<>();
		for (String part : text.split("&", -1)) {
			Matcher matcher = TERM.matcher(part);
			if (!matcher.matches()) {
				throw new SelectorException(part.strip());
			}
			Set<String> values = new TreeSet<>(List.of(matcher.group(3).split("\\|")));
			terms.add(new Term(matcher.group(1), matcher.group(2).equals("="), values));
		}
		return new Selector(terms);
	}

	/**
	 * Returns whether the selector matches labels.
	 * @param labels the labels, never null
	 * @return {@code true} if all terms match
	 */
	public boolean matches(Labels labels) {
		for (Term term : this.terms) {
			if (!term.matches(labels)) {
				return false;
			}
		}
		return true;
	}

	@Override
	public String toString() {
		if (this.terms.isEmpty()) {
			return EVERYTHING;
		}
		return this.terms.stream().map(Term::toString).collect(Collectors.joining(" & "));
	}

	/**
	 * A term of a selector. An absent label equals none of the values. Immutable.
	 *
	 * @param label the label
	 * @param included whether the label must have one of the values ({@code =}) or none
	 * of them ({@code !=})
	 * @param values the values
	 */
	public record Term(String label, boolean included, Set<String> values) {

		public Term {
			values = Set.copyOf(values);
		}

		boolean matches(Labels labels) {
			boolean contained = labels.value(this.label).map(this.values::contains).orElse(false);
			return contained == this.included;
		}

		@Override
		public String toString() {
			return this.label + (this.included ? "=" : "!=") + String.join("|", new TreeSet<>(this.values));
		}

	}

}
