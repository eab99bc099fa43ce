#pragma once

#include <load/report.h>
#include <load/shape.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Net {
class Reactor;
}

namespace Load {

/// Sends a shape's requests when they are due and records every answer.
class LoadRunner
{
public:
    /// Reads the customers' keys; the error names the file that can't be read.
    static auto create(Net::Reactor &reactor, const LoadShape &shape)
        -> Utils::Result<std::unique_ptr<LoadRunner>, std::string>;
    ~LoadRunner();

    /// Calls `done` when every request has ended, and `progress` periodically.
    auto start(std::function<void(size_t ended, size_t all)> progress, std::function<void()> done)
        -> void;
    auto records() const -> const std::vector<RequestRecord> &;

private:
    struct Private;
    explicit LoadRunner(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Load
