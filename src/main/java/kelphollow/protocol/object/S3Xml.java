package kelphollow.protocol.object;

import java.io.ByteArrayInputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import javax.xml.stream.XMLStreamWriter;

/** Reads and writes the S3 XML documents that the gateway needs. */
final class S3Xml {
    /** A part in a ListParts result. */
    record Part(String etag, long size) {}

    private static final XMLInputFactory INPUT = XMLInputFactory.newInstance();
    private static final XMLOutputFactory OUTPUT = XMLOutputFactory.newInstance();

    static {
        // Prevents XML external entities: a node's response must not make the gateway open files or connections.
        INPUT.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        INPUT.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
    }

    private S3Xml() {}

    /** The body of an error response. */
    static byte[] error(S3Error error, String resource, String requestId) {
        StringWriter text = new StringWriter();
        try {
            XMLStreamWriter xml = OUTPUT.createXMLStreamWriter(text);
            xml.writeStartDocument("UTF-8", "1.0");
            xml.writeStartElement("Error");
            writeElement(xml, "Code", error.code());
            writeElement(xml, "Message", error.getMessage());
            writeElement(xml, "Resource", resource);
            writeElement(xml, "RequestId", requestId);
            xml.writeEndElement();
            xml.writeEndDocument();
        } catch (XMLStreamException e) {
            throw new IllegalStateException(e);   // a StringWriter does not throw
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void writeElement(XMLStreamWriter xml, String name, String text) throws XMLStreamException {
        xml.writeStartElement(name);
        xml.writeCharacters(text.replaceAll("[^\\x20-\\uD7FF]", "?"));
        xml.writeEndElement();
    }

    /** The name of the root element, or null. */
    static String rootElement(byte[] document) throws XMLStreamException {
        XMLStreamReader xml = INPUT.createXMLStreamReader(new ByteArrayInputStream(document));
        while (xml.hasNext()) {
            if (xml.next() == XMLStreamConstants.START_ELEMENT) {
                return xml.getLocalName();
            }
        }
        return null;
    }

    /** The text of the first element with this name, or null. */
    static String firstText(byte[] document, String element) throws XMLStreamException {
        XMLStreamReader xml = INPUT.createXMLStreamReader(new ByteArrayInputStream(document));
        while (xml.hasNext()) {
            if (xml.next() == XMLStreamConstants.START_ELEMENT && xml.getLocalName().equals(element)) {
                return xml.getElementText();
            }
        }
        return null;
    }

    /** The parts of a ListPartsResult by part number. */
    static Map<Integer, Part> parts(byte[] document) throws XMLStreamException {
        XMLStreamReader xml = INPUT.createXMLStreamReader(new ByteArrayInputStream(document));
        Map<Integer, Part> parts = new HashMap<>();
        boolean isResult = false;
        Map<String, String> part = null;
        while (xml.hasNext()) {
            int event = xml.next();
            if (event == XMLStreamConstants.START_ELEMENT) {
                String name = xml.getLocalName();
                isResult |= name.equals("ListPartsResult");
                if (name.equals("Part")) {
                    part = new HashMap<>();
                } else if (part != null) {
                    part.put(name, xml.getElementText().strip());
                }
            } else if (event == XMLStreamConstants.END_ELEMENT && xml.getLocalName().equals("Part")) {
                putPart(part, parts);
                part = null;
            }
        }
        if (!isResult) {
            throw new XMLStreamException("the document has no ListPartsResult element");
        }
        return parts;
    }

    private static void putPart(Map<String, String> part, Map<Integer, Part> into) throws XMLStreamException {
        try {
            into.put(Integer.parseInt(part.get("PartNumber")),
                new Part(part.getOrDefault("ETag", ""), Long.parseLong(part.get("Size"))));
        } catch (NumberFormatException e) {
            throw new XMLStreamException("a Part has no valid PartNumber or Size");
        }
    }
}
