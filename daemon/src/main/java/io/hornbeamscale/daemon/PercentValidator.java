package io.hornbeamscale.daemon;

import com.beust.jcommander.IValueValidator;
import com.beust.jcommander.ParameterException;

/** Checks that the value of an option is a percentage. */
public final class PercentValidator implements IValueValidator<Double> {
    static final double MAX_PERCENT = 100;

    @Override
    public void validate(String name, Double value) {
        if (value != null && !(value >= 0 && value <= MAX_PERCENT)) {
            throw new ParameterException(name + " must be from 0 to 100: " + value);
        }
    }
}
