package org.sardinebay.desugar;

import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/** Writes a method that concatenates its parameters by a {@link StringBuilder}. */
final class StringConcatenation {
  private static final String BUILDER = "java/lang/StringBuilder";
  private static final char ARGUMENT = '\u0001';
  private static final char CONSTANT = '\u0002';

  private StringConcatenation() {}

  /** Returns whether the recipe has no constants beside its text. */
  static boolean isSupported(Object... arguments) {
    return arguments.length == 1 && ((String) arguments[0]).indexOf(CONSTANT) < 0;
  }

  static void write(MethodVisitor code, String descriptor, Object... arguments) {
    String recipe = (String) arguments[0];
    Type[] parameters = Type.getArgumentTypes(descriptor);
    code.visitTypeInsn(Opcodes.NEW, BUILDER);
    code.visitInsn(Opcodes.DUP);
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, BUILDER, "<init>", "()V", false);
    StringBuilder text = new StringBuilder();
    int parameter = 0;
    int local = 0;
    for (int i = 0; i < recipe.length(); i++) {
      char c = recipe.charAt(i);
      if (c == ARGUMENT) {
        appendText(code, text);
        Type type = parameters[parameter++];
        code.visitVarInsn(type.getOpcode(Opcodes.ILOAD), local);
        local += type.getSize();
        append(code, appended(type));
      } else {
        text.append(c);
      }
    }
    appendText(code, text);
    code.visitMethodInsn(Opcodes.INVOKEVIRTUAL, BUILDER, "toString", "()Ljava/lang/String;", false);
    code.visitInsn(Opcodes.ARETURN);
  }

  private static void appendText(MethodVisitor code, StringBuilder text) {
    if (!text.isEmpty()) {
      code.visitLdcInsn(text.toString());
      append(code, "Ljava/lang/String;");
      text.setLength(0);
    }
  }

  private static void append(MethodVisitor code, String type) {
    code.visitMethodInsn(
        Opcodes.INVOKEVIRTUAL, BUILDER, "append", "(" + type + ")Ljava/lang/StringBuilder;", false);
  }

  /** Arrays of characters are appended as objects, like the instruction does. */
  private static String appended(Type type) {
    return switch (type.getSort()) {
      case Type.BYTE, Type.SHORT -> "I";
      case Type.OBJECT, Type.ARRAY ->
          type.getDescriptor().equals("Ljava/lang/String;")
              ? "Ljava/lang/String;"
              : "Ljava/lang/Object;";
      default -> type.getDescriptor();
    };
  }
}
