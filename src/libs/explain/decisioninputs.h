#pragma once

#include "requestend.h"
#include "timeline.h"

#include <string>
#include <vector>

namespace Explain {

/// Describes the information on which a request was decided and its age, one sentence per item.
class DecisionInputs
{
public:
    DecisionInputs(const RequestEnd &end, const Timeline &timeline);

    auto sentences() const -> std::vector<std::string>;

private:
    auto age(std::chrono::milliseconds time) const -> std::string;
    auto ownConfiguration() const -> std::string;
    auto otherConfigurations() const -> std::string;
    auto nextConfiguration() const -> std::string;
    auto server(const std::string &id) const -> std::string;
    auto model() const -> std::string;
    auto duty() const -> std::string;

    const RequestEnd &m_end;
    const Timeline &m_timeline;
};

} // namespace Explain
