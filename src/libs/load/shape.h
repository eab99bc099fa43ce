#pragma once

#include <utils/result.h>

#include <chrono>
#include <string>
#include <vector>

namespace Load {

/// One customer's part of a load.
struct CustomerShape
{
    std::string name;
    std::string keyFile;
    double requestsPerSecond = 0;
    double contractRate = 0; ///< Tokens a second, as in the customer's rule.
    double contractBurst = 0; ///< Tokens, as in the customer's rule.
};

/// Requests for one model that are sent to all entries at once.
struct BurstShape
{
    std::chrono::milliseconds at{0};
    int requests = 0;
    std::string model;
};

/// An open-loop load: requests are sent without waiting for earlier ones to finish.
struct LoadShape
{
    std::vector<std::string> entries; ///< Callers' addresses.
    unsigned seed = 1;
    std::chrono::milliseconds duration{0};
    std::vector<std::string> models;
    double modelSkew = 1; ///< Zipf exponent of the models' popularity.
    double shiftsPerMinute = 0; ///< How often the popular models change.
    int maxTokens = 16;
    std::chrono::milliseconds deadline{0};
    std::chrono::milliseconds coldThreshold{
        0}; ///< First bytes later than this count as cold starts.
    bool isStreamed = true;
    std::vector<CustomerShape> customers;
    std::vector<BurstShape> bursts;
};

/// Reads a shape from JSON text; the error names the file and the field.
auto parseShape(const std::string &fileName, const std::string &text)
    -> Utils::Result<LoadShape, std::string>;

} // namespace Load
