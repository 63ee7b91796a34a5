package org.sardinebay.desugar;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;

/**
 * Copies a jar and desugars its classes. Entries are stored uncompressed, because a program that
 * starts reads many of them.
 *
 * <pre>{@code
 * java -jar sardinebay-desugar-all.jar program.jar desugared.jar
 * }</pre>
 */
public final class DesugarMain {
  private static final String CLASS_SUFFIX = ".class";
  private static final String MANIFEST = "META-INF/MANIFEST.MF";

  /** Classes for particular versions of Java, and descriptions of modules, stay as they are. */
  private static final String UNTOUCHED = "META-INF/";

  private DesugarMain() {}

  /**
   * Runs the tool.
   *
   * @param args the jar to read and the jar to write
   * @throws IOException if a jar can't be read or written
   */
  public static void main(String[] args) throws IOException {
    Map<String, byte[]> entries = read(Path.of(args[0]));
    JarDesugaring desugaring = new JarDesugaring();
    Map<String, byte[]> classes = new TreeMap<>();
    entries.forEach(
        (name, bytes) -> {
          if (name.endsWith(CLASS_SUFFIX) && !name.startsWith(UNTOUCHED)) {
            classes.put(name.substring(0, name.length() - CLASS_SUFFIX.length()), bytes);
          }
        });
    desugaring
        .desugar(classes)
        .forEach((name, bytes) -> entries.put(name.concat(CLASS_SUFFIX), bytes));
    write(Path.of(args[1]), entries);
    System.out.println(desugaring.summary());
  }

  private static Map<String, byte[]> read(Path jar) throws IOException {
    Map<String, byte[]> entries = new TreeMap<>();
    try (ZipFile file = new ZipFile(jar.toFile())) {
      for (ZipEntry entry : Collections.list(file.entries())) {
        if (!entry.isDirectory()) {
          entries.put(entry.getName(), file.getInputStream(entry).readAllBytes());
        }
      }
    }
    return entries;
  }

  private static void write(Path jar, Map<String, byte[]> entries) throws IOException {
    try (OutputStream file = Files.newOutputStream(jar);
        ZipOutputStream out = new ZipOutputStream(file)) {
      out.setMethod(ZipOutputStream.STORED);
      if (entries.containsKey(MANIFEST)) {
        write(out, MANIFEST, entries.get(MANIFEST));
      }
      for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
        if (!entry.getKey().equals(MANIFEST)) {
          write(out, entry.getKey(), entry.getValue());
        }
      }
    }
  }

  private static void write(ZipOutputStream out, String name, byte[] bytes) throws IOException {
    ZipEntry entry = new ZipEntry(name);
    CRC32 checksum = new CRC32();
    checksum.update(bytes);
    entry.setTime(0);
    entry.setSize(bytes.length);
    entry.setCompressedSize(bytes.length);
    entry.setCrc(checksum.getValue());
    out.putNextEntry(entry);
    out.write(bytes);
    out.closeEntry();
  }
}
