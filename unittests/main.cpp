//===- main.cpp - Runs the unit tests -------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#if defined(__SANITIZE_THREAD__)
/// The packaged ZeroMQ is not instrumented for ThreadSanitizer, so its message passing between
/// threads is reported as a data race. Only reports with a frame of that library are suppressed, of
/// libsodium, which decrypts its messages, or of the function that receives for the authenticator:
/// frames of libraries that are not instrumented may be missing between those that are.
extern "C" const char *__tsan_default_suppressions() // NOLINT
{
    return "race:libzmq.so\n"
           "race:libsodium.so\n"
           "race:zmq::recv_multipart\n";
}
#endif

int main(int argc, char **argv)
{
    // Libraries create static objects on first use, which CppUTest would report as leaks. The
    // build with AddressSanitizer detects leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
