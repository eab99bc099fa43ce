#include "logfiles.h"

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace Explain {

namespace {

/// Bytes read at once. Only the beginning of a longer line is passed on.
constexpr size_t BlockBytes = 1 << 20;

const std::string standardInputPath = "-";

auto failure(const std::string &path, const char *reason) -> tl::unexpected<std::string>
{
    return tl::unexpected(path + ": " + reason);
}

} // namespace

auto LogFiles::FileCloser::operator()(std::FILE *file) const -> void
{
    std::fclose(file);
}

auto LogFiles::open(const std::vector<std::string> &paths, std::FILE *standardInput)
    -> Utils::Result<LogFiles, std::string>
{
    LogFiles files;
    for (const std::string &path : paths) {
        for (const Log &log : files.m_logs) {
            if (log.path == path)
                return failure(path, "is given twice");
        }
        Log log = {path, nullptr};
        std::error_code error;
        if (path == standardInputPath) {
            log.copy = copyToTemporaryFile(standardInput);
            if (!log.copy)
                return failure("standard input", "cannot be copied to a temporary file");
        } else if (std::filesystem::is_directory(path, error)) {
            return failure(path, "is a directory, expected a log file");
        } else if (!File(std::fopen(path.c_str(), "r"))) {
            return failure(path, std::strerror(errno));
        }
        files.m_logs.push_back(std::move(log));
    }
    if (files.m_logs.empty())
        return tl::unexpected(std::string("no log is given"));
    return files;
}

auto LogFiles::copyToTemporaryFile(std::FILE *input) -> File
{
    File copy(std::tmpfile());
    if (!copy)
        return nullptr;
    std::vector<char> block(BlockBytes);
    while (const size_t count = std::fread(block.data(), 1, block.size(), input)) {
        if (std::fwrite(block.data(), 1, count, copy.get()) != count)
            return nullptr;
    }
    const bool isWhole = std::ferror(input) == 0 && std::fflush(copy.get()) == 0;
    return isWhole ? std::move(copy) : nullptr;
}

auto LogFiles::forEachLine(const std::function<void(std::string_view line)> &handleLine) const
    -> Utils::Result<void, std::string>
{
    for (const Log &log : m_logs) {
        if (log.copy) {
            std::rewind(log.copy.get());
            if (!readLines(log.copy.get(), handleLine))
                return failure("standard input", "cannot be read");
            continue;
        }
        const File file(std::fopen(log.path.c_str(), "r"));
        if (!file || !readLines(file.get(), handleLine))
            return failure(log.path, std::strerror(errno));
    }
    return {};
}

auto LogFiles::readLines(std::FILE *file, const std::function<void(std::string_view)> &handleLine)
    -> bool
{
    std::vector<char> block(BlockBytes);
    size_t partialBytes = 0;
    bool isInLongLine = false;
    while (const size_t count =
               std::fread(block.data() + partialBytes, 1, block.size() - partialBytes, file)) {
        std::string_view rest(block.data(), partialBytes + count);
        for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
            // Skips the rest of a long line whose beginning was passed on already.
            if (!isInLongLine && end > 0)
                handleLine(rest.substr(0, end));
            isInLongLine = false;
            rest.remove_prefix(end + 1);
        }
        if (rest.size() == block.size()) {
            if (!isInLongLine)
                handleLine(rest);
            isInLongLine = true;
            rest = {};
        }
        partialBytes = rest.size();
        if (partialBytes > 0)
            std::memmove(block.data(), rest.data(), partialBytes);
    }
    if (partialBytes > 0 && !isInLongLine)
        handleLine(std::string_view(block.data(), partialBytes));
    return std::ferror(file) == 0;
}

} // namespace Explain
