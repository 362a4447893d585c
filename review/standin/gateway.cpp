#include "gateway.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::uint16_t metricsPort = 9464;

/** Words of `run` in deploy/system.toml. */
std::vector<std::string> deployCommand()
{
    std::ifstream file("deploy/system.toml");
    const std::string key = "run = \"";
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with(key))
            continue;
        std::istringstream words(line.substr(key.size(), line.rfind('"') - key.size()));
        std::vector<std::string> command;
        for (std::string word; words >> word;)
            command.push_back(word);
        return command;
    }
    throw std::runtime_error("deploy/system.toml has no run command");
}

std::string settingsText(
    const GatewayOptions& options, const Address& front, const Address& readiness, const Address& control)
{
    const auto firstInnerPort = freePort(options.ip);
    std::ostringstream text;
    text
        << "node: \"" << options.name << "\"\nrole: \"gateway\"\nclass: \"front\"\n"
        << "serves:\n  - \"front\"\n  - \"control\"\n"
        << "ip: \"" << options.ip << "\"\nzone: \"" << options.zone << "\"\nregion: \"region-1\"\n"
        << "zones:\n  zone-a: \"region-1\"\n  zone-b: \"region-1\"\n"
        << "listen:\n  front: \"" << front.text() << "\"\n  ready: \"" << readiness.text()
        << "\"\n  control: \"" << control.text() << "\"\n"
        << "portRange:\n  - " << firstInnerPort << "\n  - " << firstInnerPort + 1 << "\n"
        << "seeds:\n  - \"" << control.text() << "\"\n"
        << "bootstrap: true\ntoleranceMember: false\n"
        << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n"
        << "  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n"
        << "faultTolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n"
        << "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 4000\n  ackMs: 5000\n  catchUpS: 4\n"
        << "  drainMs: 3000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n  rollbackSlackMs: 250\n"
        << "  maxSkewMs: 12000\n  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 56\n"
        << "  warmupOvershoot: 1.5\n  warmupSlack: 5\n  evacuateMs: 5000\n  recoveryS: 12\n"
        << "platform:\n  address: \"" << options.store.text()
        << "\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n"
        << "  minTtlMs: 1000\n";
    return text.str();
}

/** Runs in the child: replaces it by the program. */
[[noreturn]] void execute(std::vector<std::string> command, const std::string& log)
{
    // The program ends with this process, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

} // namespace

GatewayProcess::GatewayProcess(const GatewayOptions& options)
    : front_ { options.ip, freePort(options.ip) }
    , readiness_ { options.ip, freePort(options.ip) }
{
    const Address control { options.ip, freePort(options.ip) };
    const auto path = options.folder + "/" + options.name + ".yaml";
    std::ofstream(path) << settingsText(options, front_, readiness_, control);
    const auto command = deployCommand();
    process_ = ::fork();
    if (process_ == 0) {
        ::setenv("BANYANCROFT_CONFIG", path.c_str(), 1);
        execute(command, options.folder + "/" + options.name + ".log");
    }
    if (process_ < 0)
        throw std::runtime_error("cannot start the gateway");
}

GatewayProcess::~GatewayProcess()
{
    if (hasEnded())
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

bool GatewayProcess::isReady() const
{
    constexpr Milliseconds timeout(500);
    const auto connection = Connection::open(readiness_, timeout);
    Message response;
    return connection
        && connection->write(serialise("GET /-/ready HTTP/1.1", { { "Host", readiness_.text() } }, ""))
        && connection->read(response, true, timeout) == ReadEnd::Complete && response.status() == 200;
}

bool GatewayProcess::waitUntilReady(Milliseconds timeout) const
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        if (isReady())
            return true;
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

void GatewayProcess::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

bool GatewayProcess::hasEnded()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ <= 0;
}

std::size_t GatewayProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/status");
    const std::string key = "VmRSS:";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key))
            return std::stoul(line.substr(key.size())) * 1024;
    }
    return 0;
}

std::string ownLoopbackAddress(unsigned index)
{
    constexpr unsigned attempts = 50;
    const auto seed = static_cast<unsigned>(::getpid());
    for (unsigned i = 0; i < attempts; ++i) {
        const auto mixed = (seed * 31 + i * 7 + index) % 60'000;
        std::string ip = "127." + std::to_string(20 + index) + "." + std::to_string(1 + mixed / 250) + "."
            + std::to_string(1 + mixed % 250);
        if (isFree({ ip, metricsPort }))
            return ip;
    }
    throw std::runtime_error("no loopback address with a free port for metrics");
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary folder");
    path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    if (!std::getenv("REVIEW_KEEP"))
        std::filesystem::remove_all(path_, ignored);
}

} // namespace review
