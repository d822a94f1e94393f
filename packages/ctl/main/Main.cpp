// siskinctl: the command-line client for operators and support engineers.

#include "siskinspread/NetworkOperatorApi.h"
#include "siskinspread/RunCommand.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace {

std::string drawPublishId()
{
    std::random_device device;
    char digits[40];
    std::snprintf(digits, sizeof digits, "%08x%08x%08x%08x", device(), device(), device(), device());
    return digits;
}

std::string publisherName()
{
    const char* user = std::getenv("USER");
    return user ? user : "operator";
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const std::vector<std::string> words { arguments + 1, arguments + argumentCount };
    siskinspread::NetworkOperatorApi api { publisherName(), drawPublishId };
    return static_cast<int>(siskinspread::runCommand(words, api, { .output = std::cout, .errors = std::cerr }));
}
