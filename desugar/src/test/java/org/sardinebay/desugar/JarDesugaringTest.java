package org.sardinebay.desugar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Handle;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;

/** Guards against desugared code that does not verify or behaves differently. */
class JarDesugaringTest {
  private static final String PACKAGE = "org/sardinebay/desugar/";

  /** Defines the given classes itself; all others come from the test's class path. */
  private static final class Classes extends ClassLoader {
    private final Map<String, byte[]> classes;

    private Classes(Map<String, byte[]> classes) {
      super(null);
      this.classes = classes;
    }

    @Override
    protected Class<?> findClass(String name) throws ClassNotFoundException {
      byte[] bytes =
          Optional.ofNullable(classes.get(name.replace('.', '/')))
              .orElseThrow(() -> new ClassNotFoundException(name));
      return defineClass(name, bytes, 0, bytes.length);
    }
  }

  private static Map<String, byte[]> samples() throws IOException {
    Map<String, byte[]> classes = new HashMap<>();
    for (String name : List.of("Samples", "Samples$Mixed", "Samples$Named")) {
      try (InputStream in = Samples.class.getResourceAsStream("/" + PACKAGE + name + ".class")) {
        classes.put(PACKAGE + name, in.readAllBytes());
      }
    }
    return classes;
  }

  private static Map<String, byte[]> desugared(Map<String, byte[]> classes) {
    Map<String, byte[]> all = new HashMap<>(classes);
    all.putAll(new JarDesugaring().desugar(classes));
    return all;
  }

  private static Object call(Map<String, byte[]> classes, String name, String method)
      throws ReflectiveOperationException {
    return new Classes(classes).loadClass(name.replace('/', '.')).getMethod(method).invoke(null);
  }

  private static boolean hasDynamicCall(byte[] bytes) {
    boolean[] found = {false};
    new ClassReader(bytes)
        .accept(
            new ClassVisitor(Opcodes.ASM9) {
              @Override
              public MethodVisitor visitMethod(
                  int access, String name, String type, String signature, String[] thrown) {
                return new MethodVisitor(Opcodes.ASM9) {
                  @Override
                  public void visitInvokeDynamicInsn(
                      String site, String siteType, Handle bootstrap, Object... arguments) {
                    found[0] = true;
                  }
                };
              }
            },
            0);
    return found[0];
  }

  /** A class as another compiler writes it: concatenation linked at run time. */
  private static byte[] concatenating(String name) {
    ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
    writer.visit(Opcodes.V1_8, Opcodes.ACC_PUBLIC, name, null, "java/lang/Object", null);
    int access = Opcodes.ACC_PUBLIC | Opcodes.ACC_STATIC;
    MethodVisitor code = writer.visitMethod(access, "text", "()Ljava/lang/String;", null, null);
    code.visitCode();
    code.visitInsn(Opcodes.ICONST_5);
    code.visitLdcInsn(1L << 40);
    code.visitInsn(Opcodes.ICONST_1);
    code.visitInsn(Opcodes.ACONST_NULL);
    code.visitInvokeDynamicInsn(
        "makeConcatWithConstants",
        "(BJZLjava/lang/String;)Ljava/lang/String;",
        new Handle(
            Opcodes.H_INVOKESTATIC,
            "java/lang/invoke/StringConcatFactory",
            "makeConcatWithConstants",
            "(Ljava/lang/invoke/MethodHandles$Lookup;Ljava/lang/String;"
                + "Ljava/lang/invoke/MethodType;Ljava/lang/String;[Ljava/lang/Object;)"
                + "Ljava/lang/invoke/CallSite;",
            false),
        "a\u0001b\u0001\u0001c\u0001");
    code.visitInsn(Opcodes.ARETURN);
    code.visitMaxs(0, 0);
    code.visitEnd();
    writer.visitEnd();
    return writer.toByteArray();
  }

  @Test
  void should_compute_what_the_original_code_computes() throws Exception {
    assertThat(call(desugared(samples()), PACKAGE + "Samples", "results"))
        .isEqualTo(Samples.results());
  }

  @Test
  void should_leave_no_call_site_that_is_linked_at_run_time() throws IOException {
    assertThat(desugared(samples()).values()).noneMatch(JarDesugaringTest::hasDynamicCall);
  }

  @Test
  void should_concatenate_strings_as_the_original_code_does() throws Exception {
    String name = PACKAGE + "Concatenating";
    Map<String, byte[]> classes = desugared(Map.of(name, concatenating(name)));

    assertThat(call(classes, name, "text")).isEqualTo("a5b1099511627776truecnull");
  }
}
