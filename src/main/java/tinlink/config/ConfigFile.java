package tinlink.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A configuration file in JSON, which may contain comments, trailing commas, single quotes and
 * unquoted keys. Every key must be known to the reader, otherwise the file is rejected; messages
 * name the file, the key and the allowed values.
 */
public final class ConfigFile {
    private static final long MAX_BYTES = 1 << 20;
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(
                    JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA,
                    JsonReadFeature.ALLOW_SINGLE_QUOTES, JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private final String file;
    private final String path;
    private final JsonNode node;
    private final Set<String> knownKeys = new HashSet<>();
    private final List<ConfigFile> children = new ArrayList<>();

    private ConfigFile(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file can't be read or doesn't contain a JSON object
     */
    public static ConfigFile of(String file) {
        try {
            if (Files.size(Path.of(file)) > MAX_BYTES) {
                throw new ConfigException(file, "", "it is over " + MAX_BYTES + " bytes");
            }
            return of(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new ConfigException(file, "", "it can't be read: " + e.getMessage());
        }
    }

    public static ConfigFile of(String file, String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node == null || !node.isObject()) {
                throw new ConfigException(file, "", "it is no JSON object");
            }
            return new ConfigFile(file, "", node);
        } catch (JsonProcessingException e) {
            throw new ConfigException(
                    file,
                    "",
                    "line " + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()) + ": "
                            + e.getOriginalMessage());
        }
    }

    /**
     * Returns an exception for an invalid entry.
     *
     * @param problem what is wrong, with the invalid value or the allowed values
     */
    public ConfigException invalid(String key, String problem) {
        return new ConfigException(file, path + key, problem);
    }

    private JsonNode get(String key) {
        knownKeys.add(key);
        JsonNode value = node.get(key);
        return value == null || value.isNull() ? null : value;
    }

    public boolean has(String key) {
        return get(key) != null;
    }

    public String text(String key, String defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw invalid(key, "is no text");
        }
        return value.textValue();
    }

    public String text(String key) {
        String value = text(key, null);
        if (value == null) {
            throw invalid(key, "is missing");
        }
        return value;
    }

    public double number(String key, double defaultValue, double min, double max) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
            throw invalid(
                    key,
                    "is no number from " + FlatSettings.plainNumber(min) + " to "
                            + FlatSettings.plainNumber(max));
        }
        return value.doubleValue();
    }

    public int integer(String key, int defaultValue, int min, int max) {
        double value = number(key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            throw invalid(key, "is no whole number from " + min + " to " + max);
        }
        return (int) value;
    }

    /** Returns a setting in milliseconds, converted to microseconds. */
    public long micros(String key, double defaultMs, double minMs, double maxMs) {
        return Math.round(1000 * number(key, defaultMs, minMs, maxMs));
    }

    public boolean flag(String key, boolean defaultValue) {
        JsonNode value = get(key);
        if (value != null && !value.isBoolean()) {
            throw invalid(key, "is neither true nor false");
        }
        return value == null ? defaultValue : value.booleanValue();
    }

    public List<String> texts(String key) {
        List<String> all = new ArrayList<>();
        JsonNode value = get(key);
        if (value != null && !value.isArray()) {
            throw invalid(key, "is no list");
        }
        for (JsonNode element : value == null ? JsonNodeFactory.instance.arrayNode() : value) {
            if (!element.isTextual() || element.textValue().isEmpty()) {
                throw invalid(key, "is no list of texts");
            }
            all.add(element.textValue());
        }
        return all;
    }

    /** Returns the object at a key, or an empty object if the key is absent. */
    public ConfigFile object(String key) {
        JsonNode value = get(key);
        if (value != null && !value.isObject()) {
            throw invalid(key, "is no object");
        }
        return child(
                path + key + ".", value == null ? JsonNodeFactory.instance.objectNode() : value);
    }

    public List<ConfigFile> objects(String key) {
        List<ConfigFile> all = new ArrayList<>();
        JsonNode value = get(key);
        if (value != null && !value.isArray()) {
            throw invalid(key, "is no list");
        }
        for (int i = 0; value != null && i < value.size(); i++) {
            if (!value.get(i).isObject()) {
                throw invalid(key + "." + i, "is no object");
            }
            all.add(child(path + key + "." + i + ".", value.get(i)));
        }
        return all;
    }

    private ConfigFile child(String childPath, JsonNode value) {
        ConfigFile child = new ConfigFile(file, childPath, value);
        children.add(child);
        return child;
    }

    /** Returns the keys of this object, for objects whose keys are names. */
    public List<String> keys() {
        List<String> all = new ArrayList<>();
        node.fieldNames().forEachRemaining(all::add);
        return all;
    }

    /**
     * Rejects keys that are not known: if a misspelt key were ignored, a default would apply
     * instead of the intended setting.
     */
    public void rejectUnknownKeys() {
        for (String key : keys()) {
            if (!knownKeys.contains(key)) {
                throw invalid(
                        key,
                        "is not known here; known are "
                                + String.join(", ", knownKeys.stream().sorted().toList()));
            }
        }
        children.forEach(ConfigFile::rejectUnknownKeys);
    }
}
