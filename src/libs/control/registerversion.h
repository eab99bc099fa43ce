#pragma once

#include <control/change.h>

#include <set>
#include <string>

namespace Control {

/// The set of registered names that is valid from revision `since` on.
struct RegisterVersion
{
    Revision since = 0;
    std::set<std::string> names;
};

} // namespace Control
