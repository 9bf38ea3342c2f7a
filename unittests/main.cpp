//===- main.cpp - Runs the unit tests -------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    // Libraries build statics on first use, which would count as leaks. Leaks
    // are found by the build under AddressSanitizer instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
