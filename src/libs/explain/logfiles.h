#pragma once

#include <utils/result.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Explain {

/// Log files that can be read line by line, more than once.
class LogFiles
{
public:
    /// Opens the logs. `-` stands for `standardInput`, which is copied to an unnamed temporary
    /// file.
    static auto open(const std::vector<std::string> &paths, std::FILE *standardInput)
        -> Utils::Result<LogFiles, std::string>;

    /// Passes every line to `handleLine`, log by log; the error names the log that can't be read.
    auto forEachLine(const std::function<void(std::string_view line)> &handleLine) const
        -> Utils::Result<void, std::string>;

private:
    struct FileCloser
    {
        auto operator()(std::FILE *file) const -> void;
    };
    using File = std::unique_ptr<std::FILE, FileCloser>;
    struct Log
    {
        std::string path;
        File
            copy; ///< Copy of the standard input; null for a file, which is opened when it is read.
    };

    static auto copyToTemporaryFile(std::FILE *input) -> File;
    static auto readLines(std::FILE *file, const std::function<void(std::string_view)> &handleLine)
        -> bool;

    std::vector<Log> m_logs;
};

} // namespace Explain
