package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.InputSource;

import java.io.StringReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import javax.xml.parsers.DocumentBuilderFactory;

/** Checkstyle's exceptions only shrink: their number has a cap, and one that is not needed goes. */
class SuppressionsTest {
    /** Lowered with each entry that goes, never raised. */
    private static final int MAX_ENTRIES = 384;

    private static final Path SUPPRESSIONS = Path.of("config/checkstyle/suppressions.xml");

    /** What Checkstyle finds without the suppressions; the build writes it before the tests run. */
    private static final Path FINDINGS = Path.of("target/checkstyle-without-suppressions.xml");

    private record Finding(String file, String check, String message) {}

    @Test
    void thereAreNoMoreThanBefore() throws Exception {
        assertTrue(entries().size() <= MAX_ENTRIES, entries().size() + " entries");
    }

    @Test
    void eachIsNeeded() throws Exception {
        List<Finding> findings = findings();
        List<String> notNeeded = new ArrayList<>();
        for (Element entry : entries()) {
            for (String message : messages(entry.getAttribute("message"))) {
                if (findings.stream().noneMatch(f -> isOf(entry, message, f))) {
                    notNeeded.add(entry.getAttribute("files") + " " + entry.getAttribute("checks")
                            + " " + message);
                }
            }
        }
        assertEquals(List.of(), notNeeded, "of " + SUPPRESSIONS + ", needed by nothing");
    }

    /** One pattern for each name that an entry lists as "(one|other)"; an entry without is one pattern. */
    private static List<String> messages(String pattern) {
        Matcher names = Pattern.compile("\\(([^)]*)\\)").matcher(pattern);
        if (!names.find()) {
            return List.of(pattern);
        }
        List<String> all = new ArrayList<>();
        for (String name : names.group(1).split("\\|", -1)) {
            all.add(pattern.substring(0, names.start()) + name + pattern.substring(names.end()));
        }
        return all;
    }

    private static boolean isOf(Element entry, String message, Finding finding) {
        return Pattern.compile(entry.getAttribute("files"))
                        .matcher(finding.file)
                        .find()
                && Pattern.compile(entry.getAttribute("checks"))
                        .matcher(finding.check)
                        .find()
                && Pattern.compile(message).matcher(finding.message).find();
    }

    private static List<Element> entries() throws Exception {
        return elements(SUPPRESSIONS, "suppress");
    }

    private static List<Finding> findings() throws Exception {
        List<Finding> all = new ArrayList<>();
        for (Element error : elements(FINDINGS, "error")) {
            String source = error.getAttribute("source");
            String check = source.substring(source.lastIndexOf('.') + 1);
            String file = ((Element) error.getParentNode()).getAttribute("name");
            all.add(new Finding(file, check, error.getAttribute("message")));
        }
        return all;
    }

    private static List<Element> elements(Path file, String name) throws Exception {
        var builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
        // The document type is named by its address; nothing is fetched.
        builder.setEntityResolver((publicId, systemId) -> new InputSource(new StringReader("")));
        Document document = builder.parse(file.toFile());
        NodeList nodes = document.getElementsByTagName(name);
        List<Element> all = new ArrayList<>();
        for (int i = 0; i < nodes.getLength(); i++) {
            all.add((Element) nodes.item(i));
        }
        return all;
    }
}
