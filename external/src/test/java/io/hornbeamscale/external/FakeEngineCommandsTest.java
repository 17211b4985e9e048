package io.hornbeamscale.external;

class FakeEngineCommandsTest extends EngineCommandsContract {
    private FakeEngineCommands engine;

    @Override
    protected EngineCommands engine(boolean checksFencing) {
        engine = new FakeEngineCommands(checksFencing);
        return engine;
    }

    @Override
    protected void setDown(boolean isDown) {
        engine.setDown(isDown);
    }
}
