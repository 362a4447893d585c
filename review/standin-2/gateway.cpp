#include "gateway.h"

#include "record.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace banyancroft::review2 {

namespace {

constexpr std::size_t zones = 4;
constexpr std::size_t seeds = 3;
constexpr unsigned firstVmAddress = 10;

/** Bounds of the small sites. */
constexpr const char* boundsText = R"(faultTolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  contactMs: 4000
  ackMs: 5000
  catchUpS: 4
  drainMs: 3000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 3000
  rollbackSlackMs: 250
  maxSkewMs: 12000
  retryBudgetRatio: 0.2
  retryWindowS: 10
  retrySlack: 56
  warmupOvershoot: 1.5
  warmupSlack: 5
  evacuateMs: 5000
  recoveryS: 12
)";

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

} // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()))
        path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    if (!path_.empty())
        std::filesystem::remove_all(path_, ignored);
}

std::string zoneName(std::size_t number)
{
    return "z" + std::string(1, static_cast<char>('a' + number % zones));
}

Fleet::Fleet(const std::string& folder, const std::vector<Address>& stores, const SettingsLimits& limits)
{
    const auto firstIp = loopbackIp(firstVmAddress);
    const auto frontPort = freePort(firstIp);
    const auto readyPort = freePort(firstIp);
    const auto controlPort = freePort(firstIp);
    const auto innerPort = freePort(firstIp);
    for (std::size_t number = 0; number < stores.size(); ++number) {
        const auto ip = loopbackIp(firstVmAddress + static_cast<unsigned>(number));
        Vm vm;
        vm.settings = folder + "/vm-" + std::to_string(number) + ".yaml";
        vm.front = { ip, frontPort };
        vm.ready = { ip, readyPort };
        std::ofstream file(vm.settings);
        file << "node: " << quoted("front-" + std::to_string(number))
             << "\nrole: \"gateway\"\nclass: \"front\"\n"
             << "serves:\n  - \"front\"\n  - \"control\"\nip: " << quoted(ip)
             << "\nzone: " << quoted(zoneName(number)) << "\nregion: \"r\"\nzones:\n";
        for (std::size_t zone = 0; zone < zones; ++zone)
            file << "  " << zoneName(zone) << ": \"r\"\n";
        file << "listen:\n  front: " << quoted(vm.front.text()) << "\n  ready: " << quoted(vm.ready.text())
             << "\n  control: " << quoted(Address { ip, controlPort }.text()) << "\nportRange:\n  - "
             << innerPort << "\n  - " << innerPort << "\nseeds:\n";
        for (std::size_t seed = 0; seed < std::min(seeds, stores.size()); ++seed) {
            const Address address { loopbackIp(firstVmAddress + static_cast<unsigned>(seed)), controlPort };
            file << "  - " << quoted(address.text()) << "\n";
        }
        file << "bootstrap: true\ntoleranceMember: false\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: "
             << limits.memoryMb << "\n  maxFds: " << limits.maxFds
             << "\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
             << "heartbeatMs: 1200\ncontracts:\n";
        for (const char* contract :
            { "base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform" })
            file << "  - " << quoted(contract) << "\n";
        file << boundsText << "platform:\n  address: " << quoted(stores[number].text())
             << "\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: "
                "1048576\n"
             << "  minTtlMs: 1000\n";
        file.close();
        vms_.push_back(std::move(vm));
    }
    for (auto& vm : vms_)
        start(vm, vm.settings + ".log");
}

Fleet::~Fleet()
{
    for (const auto& vm : vms_) {
        if (vm.hasEnded)
            continue;
        ::kill(vm.process, SIGKILL);
        ::waitpid(vm.process, nullptr, 0);
    }
}

void Fleet::start(Vm& vm, const std::string& log)
{
    const auto variable = "BANYANCROFT_CONFIG=" + vm.settings;
    const char* const arguments[]
        = { "target/platform/banyancroft-gateway", "--metrics_port=9464", "--caller_delay=3ms", nullptr };
    const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr };
    vm.process = ::fork();
    if (vm.process != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    ::_exit(127);
}

bool Fleet::isReady(std::size_t vm) const
{
    const auto connection = Connection::open(vms_[vm].ready, Milliseconds(500));
    if (!connection
        || !connection->write("GET /-/ready HTTP/1.1\r\nHost: " + vms_[vm].ready.text() + "\r\n\r\n"))
        return false;
    const auto answer = connection->read(Milliseconds(1000));
    return answer && answer->status() == 200;
}

bool Fleet::waitUntilReady(Milliseconds timeout) const
{
    const auto end = Clock::now() + timeout;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        while (!isReady(vm)) {
            if (Clock::now() > end)
                return false;
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }
    return true;
}

std::size_t Fleet::ended()
{
    std::size_t result = 0;
    for (auto& vm : vms_) {
        if (!vm.hasEnded && ::waitpid(vm.process, nullptr, WNOHANG) == vm.process)
            vm.hasEnded = true;
        result += vm.hasEnded ? 1 : 0;
    }
    return result;
}

} // namespace banyancroft::review2
