//===- main.cpp - Runs the unit tests -------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#if defined(__SANITIZE_THREAD__)
/// The packaged ZeroMQ is not built for the thread sanitizer, so that how it hands
/// messages from its threads to ours is not seen and looks like a race. Reports with a
/// frame of that library are left out, and no others.
extern "C" const char *__tsan_default_suppressions() // NOLINT
{
    return "race:libzmq.so\n";
}
#endif

int main(int argc, char **argv)
{
    // Libraries build statics on first use, which would count as leaks. Leaks
    // are found by the build under AddressSanitizer instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
