package org.catkingate.agent.weights;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.VersionId;

/**
 * Published JSON form of a manifest. Its bytes are verified against the digest that the
 * configuration names before they are parsed. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class ManifestJson {

	/** The maximum size of a manifest, in bytes. */
	public static final int MAX_BYTES = 2 * 1024 * 1024;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ManifestJson() {
	}

	/**
	 * Verifies and parses a manifest.
	 * @param bytes the published bytes
	 * @param expected the digest of the bytes, as configured
	 * @param version the version that it must describe
	 * @return the manifest, never null
	 * @throws WeightsException if the digest does not match, the content is malformed or
	 * the manifest describes another version
	 */
	public static Manifest parse(byte[] bytes, Digest expected, VersionId version) throws WeightsException {
		if (!Digest.of(bytes).equals(expected)) {
			throw new WeightsException(WeightsException.Kind.CORRUPT, "manifest of " + version
					+ " does not match its manifest-sha256; publish the manifest and its digest together");
		}
		try {
			Manifest manifest = MAPPER.readValue(bytes, Form.class).toManifest();
			if (manifest.version().equals(version)) {
				return manifest;
			}
			throw invalid(version, "it describes " + manifest.version(), null);
		}
		catch (IOException | IllegalArgumentException | NullPointerException ex) {
			throw invalid(version, ex.getMessage(), ex);
		}
	}

	private static WeightsException invalid(VersionId version, String problem, Throwable cause) {
		return new WeightsException(WeightsException.Kind.MANIFEST_INVALID,
				"manifest of " + version + " is invalid (" + problem + "); publish a corrected one as a new version",
				cause);
	}

	/**
	 * Writes a manifest.
	 * @param manifest the manifest
	 * @return its bytes, never null
	 */
	public static byte[] write(Manifest manifest) {
		try {
			return MAPPER.writeValueAsBytes(Form.of(manifest));
		}
		catch (IOException ex) {
			throw new IllegalStateException("a manifest could not be written in memory", ex);
		}
	}

	private record Form(String model, String version, long totalBytes, int chunkBytes, String digest,
			List<String> chunks) {

		private static Form of(Manifest manifest) {
			List<String> chunks = manifest.chunks().stream().map(Digest::hex).toList();
			VersionId id = manifest.version();
			return new Form(id.model().value(), id.version(), manifest.totalBytes(), manifest.chunkBytes(),
					manifest.digest().hex(), chunks);
		}

		private Manifest toManifest() {
			return new Manifest(VersionId.of(this.model, this.version), this.totalBytes, this.chunkBytes,
					new Digest(this.digest), this.chunks.stream().map(Digest::new).toList());
		}

	}

}
