package org.sardinebay.desugar;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.Handle;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * Replaces the {@code invokedynamic} instructions of one class: lambdas and method references by
 * classes, concatenations of strings and the methods of records by static methods. Each of them has
 * the stack effect of the instruction that it replaces, so stack map frames stay valid.
 */
final class ClassDesugaring extends ClassVisitor {
  /** Since this version, a class may have members of its nest; older classes are raised to it. */
  private static final int NEST_VERSION = Opcodes.V11;

  /** Classes before this version have no stack map frames to keep and no such instructions. */
  private static final int MIN_VERSION = Opcodes.V1_8;

  private final Map<String, byte[]> generated = new TreeMap<>();
  private int version;
  private String name = "";
  private boolean isInterface;
  private Optional<String> nestHost = Optional.empty();
  private int helpers;
  private int replaced;
  private int left;

  ClassDesugaring(ClassVisitor next) {
    super(Opcodes.ASM9, next);
  }

  @Override
  public void visit(
      int classVersion,
      int access,
      String className,
      String signature,
      String superName,
      String[] interfaces) {
    version = classVersion & 0xffff;
    name = className;
    isInterface = (access & Opcodes.ACC_INTERFACE) != 0;
    int raised = version < MIN_VERSION ? classVersion : Math.max(NEST_VERSION, classVersion);
    super.visit(raised, access, className, signature, superName, interfaces);
  }

  @Override
  public void visitNestHost(String host) {
    nestHost = Optional.of(host);
    super.visitNestHost(host);
  }

  @Override
  public MethodVisitor visitMethod(
      int access, String method, String descriptor, String signature, String[] exceptions) {
    return new MethodVisitor(
        Opcodes.ASM9, super.visitMethod(access, method, descriptor, signature, exceptions)) {
      @Override
      public void visitInvokeDynamicInsn(
          String site, String siteDescriptor, Handle bootstrap, Object... arguments) {
        if (version < MIN_VERSION || !replace(mv, site, siteDescriptor, bootstrap, arguments)) {
          left++;
          super.visitInvokeDynamicInsn(site, siteDescriptor, bootstrap, arguments);
        }
      }
    };
  }

  private boolean replace(
      MethodVisitor method, String site, String descriptor, Handle bootstrap, Object... arguments) {
    switch (bootstrap.getOwner() + "." + bootstrap.getName()) {
      case "java/lang/invoke/LambdaMetafactory.metafactory" ->
          replaceLambda(method, site, descriptor, arguments);
      case "java/lang/invoke/StringConcatFactory.makeConcatWithConstants" -> {
        if (!StringConcatenation.isSupported(arguments)) {
          return false;
        }
        replaceByHelper(
            method, descriptor, code -> StringConcatenation.write(code, descriptor, arguments));
      }
      case "java/lang/runtime/ObjectMethods.bootstrap" ->
          replaceByHelper(
              method, descriptor, code -> RecordMethods.write(code, site, name, arguments));
      default -> {
        return false;
      }
    }
    replaced++;
    return true;
  }

  private void replaceLambda(
      MethodVisitor method, String site, String descriptor, Object... arguments) {
    String className = name + "$$Desugared" + generated.size();
    LambdaClass lambda =
        new LambdaClass(
            className, nestHost(), name, site, Type.getMethodType(descriptor), arguments);
    generated.put(className, lambda.write());
    method.visitMethodInsn(Opcodes.INVOKESTATIC, className, LambdaClass.FACTORY, descriptor, false);
  }

  private void replaceByHelper(
      MethodVisitor method, String descriptor, Consumer<MethodVisitor> body) {
    String helper = "desugared$" + helpers++;
    int access = Opcodes.ACC_PRIVATE | Opcodes.ACC_STATIC | Opcodes.ACC_SYNTHETIC;
    MethodVisitor code = cv.visitMethod(access, helper, descriptor, null, null);
    code.visitCode();
    body.accept(code);
    code.visitMaxs(0, 0);
    code.visitEnd();
    method.visitMethodInsn(Opcodes.INVOKESTATIC, name, helper, descriptor, isInterface);
  }

  /** Returns the host of the nest that the class and its generated classes belong to. */
  String nestHost() {
    return nestHost.orElse(name);
  }

  /** Returns the generated class files by internal name. */
  Map<String, byte[]> generated() {
    return generated;
  }

  /** Returns the number of replaced call sites. */
  int replaced() {
    return replaced;
  }

  /** Returns the number of call sites that stayed as they were. */
  int left() {
    return left;
  }
}
