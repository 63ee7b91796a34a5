package org.sardinebay.desugar;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Opcodes;

/**
 * Desugars the classes of one jar. A generated class calls private methods of the class that it was
 * generated for, so it becomes a member of the same nest.
 */
final class JarDesugaring {
  private final Map<String, List<String>> nestMembers = new TreeMap<>();
  private int replaced;
  private int left;

  /**
   * Desugars classes.
   *
   * @param classes the class files by internal name
   * @return the changed and the generated class files by internal name
   */
  Map<String, byte[]> desugar(Map<String, byte[]> classes) {
    Map<String, byte[]> results = new TreeMap<>();
    classes.forEach(
        (name, bytes) -> {
          ClassReader reader = new ClassReader(bytes);
          ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
          ClassDesugaring desugaring = new ClassDesugaring(writer);
          reader.accept(desugaring, 0);
          left += desugaring.left();
          if (desugaring.replaced() > 0) {
            replaced += desugaring.replaced();
            results.put(name, writer.toByteArray());
            results.putAll(desugaring.generated());
            nestMembers
                .computeIfAbsent(desugaring.nestHost(), host -> new ArrayList<>())
                .addAll(desugaring.generated().keySet());
          }
        });
    nestMembers.forEach(
        (host, members) ->
            results.put(
                host, withNestMembers(results.getOrDefault(host, classes.get(host)), members)));
    return results;
  }

  private static byte[] withNestMembers(byte[] host, List<String> members) {
    ClassWriter writer = new ClassWriter(0);
    new ClassReader(host)
        .accept(
            new ClassVisitor(Opcodes.ASM9, writer) {
              @Override
              public void visitEnd() {
                members.forEach(this::visitNestMember);
                super.visitEnd();
              }
            },
            0);
    return writer.toByteArray();
  }

  /** Returns how many call sites were replaced and how many stayed, as a line of text. */
  String summary() {
    return "call sites replaced: " + replaced + ", left: " + left;
  }
}
