package org.catkingate.runtime.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;

/**
 * Parses the JSON form of the platform's list of instances. An invalid instance is logged
 * and skipped, so that the others remain available. Stateless.
 */
final class InstanceListParser {

	private static final Logger logger = LoggerFactory.getLogger(InstanceListParser.class);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_PORT = 65_535;

	private InstanceListParser() {
	}

	static PlatformClient.Indexed<List<InstanceRecord>> parse(byte[] json) throws PlatformException {
		JsonNode root = read(json);
		if (root == null || !root.path("index").isIntegralNumber() || !root.path("instances").isArray()) {
			throw new PlatformException(PlatformException.Kind.MALFORMED,
					"the list of instances does not have the form {\"index\":N,\"instances\":[...]}; check the platform");
		}
		List<InstanceRecord> instances = new ArrayList<>();
		for (JsonNode item : root.get("instances")) {
			try {
				instances.add(instance(item));
			}
			catch (IllegalArgumentException ex) {
				logger.atWarn()
					.addKeyValue("event", "instance-not-understood")
					.addKeyValue("instance", item.path("id").asText())
					.addKeyValue("reason", ex.getMessage())
					.log("skipped an invalid instance in the platform's list; correct its entry");
			}
		}
		return new PlatformClient.Indexed<>(root.get("index").asLong(), instances);
	}

	private static JsonNode read(byte[] json) throws PlatformException {
		try {
			return MAPPER.readTree(json);
		}
		catch (IOException ex) {
			throw new PlatformException(PlatformException.Kind.MALFORMED,
					"the list of instances is not valid JSON; check the platform", ex);
		}
	}

	private static InstanceRecord instance(JsonNode item) {
		Map<String, String> labels = new TreeMap<>();
		item.path("labels").properties().forEach((label) -> labels.put(label.getKey(), label.getValue().asText()));
		return new InstanceRecord(new InstanceId(text(item, "id")),
				Role.valueOf(text(item, "role").toUpperCase(Locale.ROOT)), address(text(item, "address")),
				new DataCentreName(text(item, "dataCentre")), new RegionName(text(item, "region")), Labels.of(labels),
				item.path("leaving").asBoolean());
	}

	private static String text(JsonNode item, String field) {
		if (!item.path(field).isTextual()) {
			throw new IllegalArgumentException("field '" + field + "' must be a string");
		}
		return item.get(field).asText();
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		if (!text.substring(0, Math.max(colon, 0)).matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
			throw new IllegalArgumentException("address '" + text + "' must have the form IP:PORT");
		}
		int port = Integer.parseInt(text.substring(colon + 1));
		if (port < 0 || port > MAX_PORT) {
			throw new IllegalArgumentException("port " + port + " must be between 0 and " + MAX_PORT);
		}
		return new InetSocketAddress(text.substring(0, colon), port);
	}

}
