// Compiles the implementation part of easylogging++, which ships as a source file.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
