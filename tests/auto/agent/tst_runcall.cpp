#include <agent/runcall.h>

#include <gtest/gtest.h>

#include <optional>

namespace Verbena::Agent {

namespace {

class Owner : public RunCallOwner
{
public:
    void noteEngineIncarnation(std::uint64_t) override
    {
    }

    void receiveCallOutput(const Decisions::RequestRef &, std::string_view, std::uint32_t) override
    {
    }

    void finishCall(const Decisions::RequestRef &, const BackendEnd &end, const Core::Result<int> &) override
    {
        m_end = end;
    }

    const std::optional<BackendEnd> &end() const
    {
        return m_end;
    }

private:
    std::optional<BackendEnd> m_end;
};

class CompletionCallTest : public testing::Test
{
protected:
    Owner m_owner;
    CompletionCall m_call{{"request", 1}, m_owner};
};

// An engine whose stream could not be read any more was read until the run's deadline.
TEST_F(CompletionCallTest, takesNoMoreAfterWhatIsNoEvent)
{
    m_call.receiveData(200, "data: {\"choices\":[{\"text\":\"a\"}]}\n\n");
    EXPECT_TRUE(m_call.isTakingMore());
    m_call.receiveData(200, "data: ?\n\n");
    EXPECT_FALSE(m_call.isTakingMore());
    m_call.finish(Core::Error{Core::ErrorCode::Unknown, "http.call", "", "The response is too long."});
    EXPECT_EQ(m_owner.end()->kind, BackendEnd::Kind::Lost);
    EXPECT_EQ(m_owner.end()->detail, "The engine sent an event that cannot be read.");
}

TEST_F(CompletionCallTest, takesNoMoreOfAnEventOrARefusalWithoutEnd)
{
    const std::string piece(16 * 1024, 'x');
    int pieces = 0;
    for (; m_call.isTakingMore() && pieces < 1000; ++pieces) {
        m_call.receiveData(200, piece);
    }
    EXPECT_LT(pieces, 1000);
    CompletionCall refused({"request", 2}, m_owner);
    for (pieces = 0; refused.isTakingMore() && pieces < 1000; ++pieces) {
        refused.receiveData(500, piece);
    }
    EXPECT_LT(pieces, 1000);
}

} // namespace

} // namespace Verbena::Agent
